// Package report writes the results of experiments: the rows as JSON, a text
// table, and one self-contained HTML page with plots that can be read on a
// phone.
package report
