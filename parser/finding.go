package parser

import (
	"fmt"
	"strings"
)

// Finding is one fault with its place; Row counts from 1 and includes the header, 0 means the whole file.
type Finding struct {
	File    string `json:"file"`
	Row     int    `json:"row"`
	Column  string `json:"column"`
	Message string `json:"message"`
}

// String returns the finding as file:row: column: message.
func (finding Finding) String() string {
	place := finding.File
	if finding.Row > 0 {
		place = fmt.Sprintf("%s:%d", place, finding.Row)
	}
	if finding.Column != "" {
		place += ": " + finding.Column
	}
	return place + ": " + finding.Message
}

// Findings is every fault of one input, in the order of its rows.
type Findings []Finding

// Error returns one finding a line.
func (findings Findings) Error() string {
	lines := make([]string, len(findings))
	for i, finding := range findings {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}
