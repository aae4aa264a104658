package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	mutex   sync.Mutex
	file    *os.File
	writer  *bufio.Writer
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, writer: bufio.NewWriter(file), started: time.Now()}, nil
}

func (record *record) line(format string, values ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	fmt.Fprintf(record.writer, "%8.3f ", time.Since(record.started).Seconds())
	fmt.Fprintf(record.writer, format+"\n", values...)
}

func (record *record) close() error {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	if err := record.writer.Flush(); err != nil {
		return err
	}
	return record.file.Close()
}
