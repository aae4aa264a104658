package parser

import (
	"fmt"
	"strings"
)

// Finding is one error in a file. Row is the line number, where the header is
// row 1; 0 means the whole file.
type Finding struct {
	File    string `json:"file"`
	Row     int    `json:"row"`
	Column  string `json:"column"`
	Message string `json:"message"`
}

// String formats the finding as file:row: column: message.
func (finding Finding) String() string {
	location := finding.File
	if finding.Row > 0 {
		location = fmt.Sprintf("%s:%d", location, finding.Row)
	}
	if finding.Column != "" {
		location += ": " + finding.Column
	}
	return location + ": " + finding.Message
}

// Findings is the error that holds every Finding of one file, in the order of its rows.
type Findings []Finding

// Error returns the findings, one per line.
func (findings Findings) Error() string {
	lines := make([]string, len(findings))
	for i, finding := range findings {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}
