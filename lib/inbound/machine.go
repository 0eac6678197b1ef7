package inbound

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"syscall"
)

// Where the system doesn't tell, a machine counts as a small one.
const (
	unknownMemory      = 128 << 20
	unknownDescriptors = 1024
)

// MachineMemory returns the memory of this machine in bytes, as /proc/meminfo has it.
func MachineMemory() int64 {
	file, err := os.Open("/proc/meminfo")
	if err != nil {
		return unknownMemory
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var kilobytes int64
		if text, ok := strings.CutPrefix(lines.Text(), "MemTotal:"); ok {
			if _, err := fmt.Sscan(text, &kilobytes); err == nil && kilobytes > 0 {
				return kilobytes << 10
			}
		}
	}
	return unknownMemory
}

// MachineDescriptors returns how many descriptors this process may have open.
func MachineDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur == 0 {
		return unknownDescriptors
	}
	return int(min(limit.Cur, maxDescriptors))
}

// maxDescriptors is more than a host uses, so that a process without a limit has one.
const maxDescriptors = 1 << 20
