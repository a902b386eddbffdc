package shell

import (
	"os"
	"time"
)

// watchedFile detects by size and modification time that a file has been written
// or replaced.
type watchedFile struct {
	path string
	size int64     // at the last change
	at   time.Time // modification time at the last change
}

// newWatchedFile watches for changes from now on. With an empty path there are none.
func newWatchedFile(path string) *watchedFile {
	f := &watchedFile{path: path}
	f.changed()
	return f
}

// changed reports whether the file has changed since the last call. A file that
// can't be examined counts as unchanged, since it may be about to be replaced.
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
