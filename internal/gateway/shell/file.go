package shell

import (
	"os"
	"time"
)

// watchedFile notices that a file has been written or replaced, by its size and
// time of change.
type watchedFile struct {
	path string
	size int64
	at   time.Time
}

// newWatchedFile begins with the file as it is now; an empty path watches none.
func newWatchedFile(path string) *watchedFile {
	f := &watchedFile{path: path}
	f.changed()
	return f
}

// changed reports whether the file differs from the last call. A file that can't
// be looked at has not changed: it may be about to be replaced.
func (f *watchedFile) changed() bool {
	if f.path == "" {
		return false
	}
	info, err := os.Stat(f.path)
	if err != nil || info.Size() == f.size && info.ModTime().Equal(f.at) {
		return false
	}
	f.size, f.at = info.Size(), info.ModTime()
	return true
}
