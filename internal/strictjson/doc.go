// Package strictjson decodes JSON files that people edit. It refuses unknown
// and repeated fields, nulls and values of the wrong type, and reports all
// mistakes of a file at once, each with the path of its field and its line.
package strictjson
