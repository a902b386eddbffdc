// Package jsonstream reads JSON texts of any length in bounded memory: it holds one string at a time, up
// to a length that its caller states, and skips what its caller does not ask for. What is skipped is
// checked only as far as needed to find its end.
package jsonstream
