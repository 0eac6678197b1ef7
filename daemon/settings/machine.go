package settings

import (
	"fmt"
	"time"
)

// Machine describes the machine of a host. Clients of all listeners together may use a part of it.
type Machine struct {
	MemoryMb    int           `ini:"memory_mb" default:"0"`   // 0: as the system tells
	Descriptors int           `ini:"descriptors" default:"0"` // of the process; 0: as the system tells
	BodyTime    time.Duration `ini:"body_time" default:"60s"` // within which the body of a request must arrive
}

// A host with less serves nobody.
const (
	minMemoryMb    = 64
	minDescriptors = 256
)

func (m Machine) check() error {
	if m.MemoryMb > 0 && m.MemoryMb < minMemoryMb {
		return fmt.Errorf("section [machine]: key \"memory_mb\": %d is neither 0 nor %d or more", m.MemoryMb, minMemoryMb)
	}
	if m.Descriptors > 0 && m.Descriptors < minDescriptors {
		return fmt.Errorf("section [machine]: key \"descriptors\": %d is neither 0 nor %d or more", m.Descriptors, minDescriptors)
	}
	if m.BodyTime <= 0 {
		return fmt.Errorf("section [machine]: key \"body_time\": must be above 0")
	}
	return nil
}
