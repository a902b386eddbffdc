package shell

import (
	"runtime"
	"syscall"
	"time"
)

// processTime returns the processor time that the process has used, or 0 if it
// can't be read.
func processTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapInUse returns the heap bytes in use after a garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse
}
