// Package crowdtest tests the real processes against peers that do not behave: many at once,
// which send or answer without end, or not to the end. The tests check that the process lives
// and stays within the memory and descriptors of its settings, and that it serves an ordinary
// request afterwards. Others check that no caller gets a broken answer for a whole one. They run one at a time and apart from other load, and need Linux's /proc.
package crowdtest
