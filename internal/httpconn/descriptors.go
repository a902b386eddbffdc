package httpconn

import (
	"math"

	"golang.org/x/sys/unix"
)

// Descriptors returns the number of descriptors that the process may have open: limit, or the
// system's limit (RLIMIT_NOFILE) if limit is 0.
func Descriptors(limit int64) int {
	if limit == 0 {
		var r unix.Rlimit
		if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &r); err != nil {
			return 0 // unknown: unlimited
		}
		limit = int64(min(r.Cur, math.MaxInt32))
	}
	return int(min(limit, math.MaxInt32))
}
