package parser

import (
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// row is one record of a CSV file, with its line number and its fields by column name.
type row struct {
	number int
	fields map[string]string
}

// tableReader parses one CSV file and collects its findings.
type tableReader struct {
	file     string
	findings Findings
}

func (tableReader *tableReader) addFinding(row row, column, format string, arguments ...any) {
	finding := Finding{File: tableReader.file, Row: row.number, Column: column, Message: fmt.Sprintf(format, arguments...)}
	tableReader.findings = append(tableReader.findings, finding)
}

// findingsError returns the findings in the order of their rows, or nil if there are none.
func (tableReader *tableReader) findingsError() error {
	if len(tableReader.findings) == 0 {
		return nil
	}
	slices.SortStableFunc(tableReader.findings, func(a, b Finding) int { return a.Row - b.Row })
	return tableReader.findings
}

// readRows reads the whole file, whose header must list exactly the given columns
// in any order.
func (tableReader *tableReader) readRows(input io.Reader, columns []string) []row {
	csvReader := csv.NewReader(input)
	csvReader.FieldsPerRecord = -1
	header, err := csvReader.Read()
	if err != nil {
		tableReader.addFinding(row{}, "", "cannot read header: %v", err)
		return nil
	}
	tableReader.checkHeader(header, columns)
	var rows []row
	for {
		record, err := csvReader.Read()
		if errors.Is(err, io.EOF) {
			return rows
		}
		if err != nil {
			tableReader.addFinding(row{}, "", "%v", err)
			return rows
		}
		line, _ := csvReader.FieldPos(0)
		rows = append(rows, tableReader.newRow(line, header, record))
	}
}

func (tableReader *tableReader) newRow(line int, header, record []string) row {
	result := row{number: line, fields: make(map[string]string, len(header))}
	if len(record) != len(header) {
		tableReader.addFinding(result, "", "row has %d fields, the header has %d", len(record), len(header))
	}
	for i := range min(len(header), len(record)) {
		result.fields[header[i]] = strings.TrimSpace(record[i])
	}
	return result
}

func (tableReader *tableReader) checkHeader(header, columns []string) {
	headerRow := row{number: 1}
	for i, column := range header {
		header[i] = strings.TrimSpace(strings.TrimPrefix(column, "\ufeff"))
		if !slices.Contains(columns, header[i]) {
			tableReader.addFinding(headerRow, header[i], "unknown column %q; columns are %s", header[i], strings.Join(columns, ", "))
		}
		if slices.Contains(header[:i], header[i]) {
			tableReader.addFinding(headerRow, header[i], "duplicate column %q", header[i])
		}
	}
	for _, column := range columns {
		if !slices.Contains(header, column) {
			tableReader.addFinding(headerRow, column, "column %q is missing", column)
		}
	}
}

// parseWeight returns a weight, or 1 after adding a finding.
func (tableReader *tableReader) parseWeight(row row, column string) float64 {
	value, err := strconv.ParseFloat(row.fields[column], 64)
	if err != nil || !(value > 0) || value > maxWeight {
		tableReader.addFinding(row, column, "%q is not a number above 0 and at most %g", row.fields[column], float64(maxWeight))
		return 1
	}
	return value
}

// parseChoice returns the value of a column that must be one of choices.
func (tableReader *tableReader) parseChoice(row row, column string, choices ...string) string {
	value := row.fields[column]
	if !slices.Contains(choices, value) {
		tableReader.addFinding(row, column, "%q is not one of %s", value, strings.Join(choices, ", "))
	}
	return value
}

func (tableReader *tableReader) requireEmpty(row row, columns ...string) {
	for _, column := range columns {
		if row.fields[column] != "" {
			tableReader.addFinding(row, column, "must be empty in a row of kind %q", row.fields["kind"])
		}
	}
}
