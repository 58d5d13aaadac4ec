// Package cputime tells how much processor time this process has used. Unlike the time that has
// passed, it does not depend on other processes.
package cputime

import (
	"syscall"
	"time"
)

// Used returns the processor time that all threads of this process have used so far.
func Used() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, err
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}
