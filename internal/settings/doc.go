// Package settings reads the JSON settings of one process. Decoding is strict:
// unknown fields are refused, every value is checked, and all mistakes are
// reported at once with their lines. Fields that are left out take the defaults
// that DefaultEntry and DefaultAgent return.
package settings
