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

// row is one record of a CSV file, addressed by column name.
type row struct {
	number int
	fields map[string]string
}

// reader collects the rows and findings of one CSV file.
type reader struct {
	file     string
	findings Findings
}

func (reader *reader) add(row row, column, format string, arguments ...any) {
	finding := Finding{File: reader.file, Row: row.number, Column: column, Message: fmt.Sprintf(format, arguments...)}
	reader.findings = append(reader.findings, finding)
}

// err returns the findings in the order of their rows, or nil when there are none.
func (reader *reader) err() error {
	if len(reader.findings) == 0 {
		return nil
	}
	slices.SortStableFunc(reader.findings, func(a, b Finding) int { return a.Row - b.Row })
	return reader.findings
}

// rows reads the whole file and checks its header against columns.
func (reader *reader) rows(input io.Reader, columns []string) []row {
	csvReader := csv.NewReader(input)
	csvReader.FieldsPerRecord = -1
	header, err := csvReader.Read()
	if err != nil {
		reader.add(row{}, "", "header cannot be read: %v", err)
		return nil
	}
	reader.checkHeader(header, columns)
	var rows []row
	for {
		record, err := csvReader.Read()
		if errors.Is(err, io.EOF) {
			return rows
		}
		if err != nil {
			reader.add(row{}, "", "%v", err)
			return rows
		}
		line, _ := csvReader.FieldPos(0)
		rows = append(rows, reader.row(line, header, record))
	}
}

func (reader *reader) row(line int, header, record []string) row {
	result := row{number: line, fields: make(map[string]string, len(header))}
	if len(record) != len(header) {
		reader.add(result, "", "row has %d fields, the header has %d", len(record), len(header))
	}
	for i := range min(len(header), len(record)) {
		result.fields[header[i]] = strings.TrimSpace(record[i])
	}
	return result
}

func (reader *reader) checkHeader(header, columns []string) {
	first := row{number: 1}
	for i, column := range header {
		header[i] = strings.TrimSpace(strings.TrimPrefix(column, "\ufeff"))
		if !slices.Contains(columns, header[i]) {
			reader.add(first, header[i], "column %q is not known; columns are %s", header[i], strings.Join(columns, ", "))
		}
		if slices.Contains(header[:i], header[i]) {
			reader.add(first, header[i], "column %q stands twice", header[i])
		}
	}
	for _, column := range columns {
		if !slices.Contains(header, column) {
			reader.add(first, column, "column %q does not exist", column)
		}
	}
}

func (reader *reader) positive(row row, column string) float64 {
	value, err := strconv.ParseFloat(row.fields[column], 64)
	if err != nil || !(value > 0) || value > maxWeight {
		reader.add(row, column, "%q is not a number above 0 and up to %g", row.fields[column], float64(maxWeight))
		return 1
	}
	return value
}

func (reader *reader) oneOf(row row, column string, choices ...string) string {
	value := row.fields[column]
	if !slices.Contains(choices, value) {
		reader.add(row, column, "%q is not one of %s", value, strings.Join(choices, ", "))
	}
	return value
}

func (reader *reader) empty(row row, columns ...string) {
	for _, column := range columns {
		if row.fields[column] != "" {
			reader.add(row, column, "must be empty in a row of kind %q", row.fields["kind"])
		}
	}
}
