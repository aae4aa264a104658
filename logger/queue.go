package logger

import (
	"io"
	"sync"
	"sync/atomic"
)

const (
	queueLimit       = 256 << 10 // bytes queued, up to which any line is accepted
	lowPriorityLimit = 128 << 10 // bytes queued, up to which low-priority lines are accepted
)

// Queue accepts log lines without waiting for its output and writes them in batches.
// When the output is too slow, it drops lines, those of low priority first. It is
// safe for concurrent use.
type Queue struct {
	output      io.Writer
	mutex       sync.Mutex
	buffer      []byte        // queued lines
	spareBuffer []byte        // replaces buffer while its lines are written
	dropped     atomic.Uint64 // lines
	flush       chan struct{} // signals run to write the queued lines
	stop        chan struct{} // closed to end run
	stopped     chan struct{} // closed when run has ended
}

// NewQueue returns a Queue that writes to output; the returned function writes the
// queued lines and stops it.
func NewQueue(output io.Writer) (*Queue, func()) {
	queue := &Queue{output: output, flush: make(chan struct{}, 1), stop: make(chan struct{}), stopped: make(chan struct{})}
	go queue.run()
	return queue, func() {
		close(queue.stop)
		<-queue.stopped
	}
}

// HighPriority returns a writer for rare lines, which are dropped last.
func (queue *Queue) HighPriority() io.Writer {
	return &queueWriter{queue: queue, maxQueued: queueLimit}
}

// LowPriority returns a writer for frequent lines, such as those about every flow,
// which are dropped first.
func (queue *Queue) LowPriority() io.Writer {
	return &queueWriter{queue: queue, maxQueued: lowPriorityLimit}
}

// Dropped returns the number of lines dropped so far; a failed write of a batch
// counts as one.
func (queue *Queue) Dropped() uint64 { return queue.dropped.Load() }

// Flush starts writing the queued lines in the background.
func (queue *Queue) Flush() {
	select {
	case queue.flush <- struct{}{}:
	default:
	}
}

// queueWriter adds lines to a queue until it holds maxQueued bytes.
type queueWriter struct {
	queue     *Queue
	maxQueued int
}

// Write queues a line, or drops it if the queue is too full; it always reports success.
func (queueWriter *queueWriter) Write(line []byte) (int, error) {
	queue := queueWriter.queue
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	if len(queue.buffer)+len(line) > queueWriter.maxQueued {
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
		case <-queue.flush:
			queue.writeQueued()
		case <-queue.stop:
			queue.writeQueued()
			return
		}
	}
}

// writeQueued writes the queued lines to the output; meanwhile new lines go into the
// spare buffer.
func (queue *Queue) writeQueued() {
	queue.mutex.Lock()
	queued := queue.buffer
	queue.buffer = queue.spareBuffer[:0]
	queue.mutex.Unlock()
	if len(queued) > 0 {
		if _, err := queue.output.Write(queued); err != nil {
			queue.dropped.Add(1) // the error cannot be logged
		}
	}
	queue.mutex.Lock()
	queue.spareBuffer = queued[:0]
	queue.mutex.Unlock()
}
