package logger

import (
	"io"
	"sync"
	"sync/atomic"
)

const (
	queueSize    = 256 << 10 // bytes that wait to be written
	frequentSize = 128 << 10 // bytes that may wait when a frequent line comes
)

// Queue takes log lines without ever blocking and writes them in batches. When
// the output does not keep up, frequent lines are dropped before rare ones.
type Queue struct {
	output  io.Writer
	mutex   sync.Mutex
	buffer  []byte
	spare   []byte
	dropped atomic.Uint64
	signal  chan struct{}
	done    chan struct{}
	stopped chan struct{}
}

// NewQueue returns a Queue that writes to output; the returned function writes what waits and stops it.
func NewQueue(output io.Writer) (*Queue, func()) {
	queue := &Queue{output: output, signal: make(chan struct{}, 1), done: make(chan struct{}), stopped: make(chan struct{})}
	go queue.run()
	return queue, func() {
		close(queue.done)
		<-queue.stopped
	}
}

// HighPriority returns the writer for lines that are seldom written.
func (queue *Queue) HighPriority() io.Writer { return &queueWriter{queue: queue, limit: queueSize} }

// LowPriority returns the writer for lines that are written for every flow.
func (queue *Queue) LowPriority() io.Writer { return &queueWriter{queue: queue, limit: frequentSize} }

// Dropped returns how many lines were dropped.
func (queue *Queue) Dropped() uint64 { return queue.dropped.Load() }

// Flush has the waiting lines written in the background.
func (queue *Queue) Flush() {
	select {
	case queue.signal <- struct{}{}:
	default:
	}
}

type queueWriter struct {
	queue *Queue
	limit int
}

// Write takes a line or drops it; it always reports success.
func (queueWriter *queueWriter) Write(line []byte) (int, error) {
	queue := queueWriter.queue
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	if len(queue.buffer)+len(line) > queueWriter.limit {
		queue.dropped.Add(1)
		return len(line), nil
	}
	queue.buffer = append(queue.buffer, line...)
	return len(line), nil
}

func (queue *Queue) run() {
	defer close(queue.stopped)
	for {
		select {
		case <-queue.signal:
			queue.write()
		case <-queue.done:
			queue.write()
			return
		}
	}
}

// write hands over what waits; lines that come meanwhile go into the other buffer.
func (queue *Queue) write() {
	queue.mutex.Lock()
	waiting := queue.buffer
	queue.buffer = queue.spare[:0]
	queue.mutex.Unlock()
	if len(waiting) > 0 {
		if _, err := queue.output.Write(waiting); err != nil {
			queue.dropped.Add(1) // there is no other place to say so
		}
	}
	queue.mutex.Lock()
	queue.spare = waiting[:0]
	queue.mutex.Unlock()
}
