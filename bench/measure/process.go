package measure

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// clockTick is the unit of processor time in /proc: 10 ms on Linux.
const clockTick = time.Second / 100

// selfCPU returns the processor time used by this process, 0 if unknown.
func selfCPU() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// CPU returns the processor time used by a process.
func CPU(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// utime and stime are fields 14 and 15. Fields are counted from after the name in brackets, which may contain spaces.
	_, rest, _ := strings.Cut(string(data), ") ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0, fmt.Errorf("/proc/%d/stat has %d fields", pid, len(f))
	}
	user, err1 := strconv.ParseInt(f[11], 10, 64)
	system, err2 := strconv.ParseInt(f[12], 10, 64)
	if err1 != nil || err2 != nil {
		return 0, fmt.Errorf("/proc/%d/stat: invalid processor times", pid)
	}
	return time.Duration(user+system) * clockTick, nil
}

// RSS returns the resident memory of a process in bytes.
func RSS(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	f := strings.Fields(string(data))
	if len(f) < 2 {
		return 0, fmt.Errorf("/proc/%d/statm: too few fields", pid)
	}
	pages, err := strconv.ParseInt(f[1], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("/proc/%d/statm: %w", pid, err)
	}
	return float64(pages) * float64(os.Getpagesize()), nil
}
