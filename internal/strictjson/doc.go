// Package strictjson decodes JSON files that people edit. It refuses unknown
// and repeated fields, nulls and values of the wrong type, and reports the
// mistakes of a file at once, up to maxMistakes, each with the path of its field
// and its line.
package strictjson
