// Package cputime measures processor time. Unlike the time that passes, it does not depend on
// other processes.
package cputime

import (
	"syscall"
	"time"
)

// Of returns the processor time that all threads of this process use while run lasts.
func Of(run func()) (time.Duration, error) {
	start, err := used()
	if err != nil {
		return 0, err
	}
	run()
	end, err := used()
	return end - start, err
}

// used returns the processor time that all threads of this process have used so far.
func used() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, err
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}
