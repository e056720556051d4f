package document

import (
	"bytes"

	"godwitplank/fault"
)

// Bounds of a document's text. The YAML decoder calls itself for each level and copies what an alias names, so that a text of a
// few kilobytes could exceed the memory.
const (
	// maxNesting bounds the brackets that are open, and the list markers at the start of a line. A valid document has 6 levels.
	maxNesting = 64
	// maxIndent bounds the spaces at the start of a line that is not in a flow collection.
	maxIndent = 512
)

// checkNesting refuses a text that nests too deep or that has aliases, before it is decoded. It does not parse strings: an
// unbalanced bracket in a string counts, so maxNesting is well above what a document needs.
func checkNesting(text []byte) error {
	open := 0
	for line := range bytes.Lines(text) {
		indent, markers := 0, 0
		for _, b := range line {
			if b != ' ' && b != '\t' && b != '-' && b != '?' {
				break
			}
			if indent++; b == '-' || b == '?' {
				markers++
			}
		}
		quoted := byte(0)
		for i, b := range line {
			if b == '#' && quoted == 0 && (i == 0 || line[i-1] == ' ') {
				break
			}
			switch {
			case quoted != 0:
				if b == quoted && (quoted != '"' || line[i-1] != '\\') {
					quoted = 0
				}
			case b == '"' || (b == '\'' && isValueStart(line, i)):
				quoted = b
			case b == '[' || b == '{':
				open++
			case b == ']' || b == '}':
				open = max(0, open-1)
			case b == '*' && isValueStart(line, i) && i+1 < len(line) && isNameByte(line[i+1]):
				return fault.New(fault.BadRequest, "the document uses the alias %.20q; write the value instead, or quote it", bytes.TrimSpace(line[i:]))
			}
			if open > maxNesting {
				return errNesting()
			}
		}
		if markers > maxNesting || (open == 0 && indent > maxIndent) {
			return errNesting()
		}
	}
	return nil
}

func errNesting() error {
	return fault.New(fault.BadRequest, "the document nests more than %d levels deep; write it with fewer", maxNesting)
}

// isValueStart reports whether a value can start at a position of a line.
func isValueStart(line []byte, i int) bool {
	before := bytes.TrimRight(line[:i], " \t")
	return len(before) == 0 || (len(before) < i && bytes.ContainsAny(before[len(before)-1:], ":-")) || bytes.ContainsAny(before[len(before)-1:], "[{,")
}

func isNameByte(b byte) bool {
	return b >= '0' && b <= '9' || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b == '_'
}
