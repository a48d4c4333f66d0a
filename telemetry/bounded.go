package telemetry

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// logQueue is the number of lines that wait for a slow output. Further ones are
	// dropped.
	logQueue = 2048
	// logFirst is the number of lines with one message that are written in a second.
	// Beyond that one in logThereafter is.
	logFirst      = 50
	logThereafter = 20
	// logReport is the time between two lines that say how many were dropped.
	logReport = time.Second
	// logFlush bounds the wait for the output at the end.
	logFlush = 500 * time.Millisecond
)

// BoundedLog is a log whose volume is bounded and that never waits for its output.
type BoundedLog struct {
	*zap.Logger
	writer  *queueWriter
	sampled atomic.Uint64
	done    chan struct{}
	ended   chan struct{}
}

// NewBoundedLog returns a log of JSON lines at the level and above. Lines are
// written by a goroutine of its own. What is dropped, by the bound of a message or
// by a full queue, is counted in the metrics and said in one line a second.
func NewBoundedLog(output io.Writer, level string, m *Metrics) (*BoundedLog, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	l := &BoundedLog{
		writer: &queueWriter{output: output, lines: make(chan []byte, logQueue), stop: make(chan struct{}), ended: make(chan struct{})},
		done:   make(chan struct{}),
		ended:  make(chan struct{}),
	}
	core := zapcore.NewCore(newEncoder(), l.writer, parsed)
	sampler := zapcore.NewSamplerWithOptions(core, time.Second, logFirst, logThereafter, zapcore.SamplerHook(l.observe))
	l.Logger = zap.New(sampler)
	go l.writer.run()
	go l.report(m)
	return l, nil
}

func (l *BoundedLog) observe(_ zapcore.Entry, decision zapcore.SamplingDecision) {
	if decision&zapcore.LogDropped != 0 {
		l.sampled.Add(1)
	}
}

// report says once a second how many lines were dropped.
func (l *BoundedLog) report(m *Metrics) {
	defer close(l.ended)
	ticker := time.NewTicker(logReport)
	defer ticker.Stop()
	sampled := m.Counter("ferry_log_lines_dropped_total", "cause", "sampled")
	full := m.Counter("ferry_log_lines_dropped_total", "cause", "queue_full")
	for {
		select {
		case <-ticker.C:
		case <-l.done:
			return
		}
		s, f := l.sampled.Swap(0), l.writer.dropped.Swap(0)
		sampled.Add(int(s))
		full.Add(int(f))
		if s+f > 0 {
			l.Warn("log lines dropped", zap.Uint64("sampled", s), zap.Uint64("queue_full", f))
		}
	}
}

// Close writes the lines that wait, for at most logFlush.
func (l *BoundedLog) Close() {
	close(l.done)
	<-l.ended
	close(l.writer.stop)
	select {
	case <-l.writer.ended:
	case <-time.After(logFlush):
	}
}

// queueWriter hands lines to a goroutine and drops them when it is behind.
type queueWriter struct {
	output  io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	stop    chan struct{}
	ended   chan struct{}
}

// Write implements io.Writer. It never waits.
func (w *queueWriter) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case w.lines <- copied:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (w *queueWriter) Sync() error { return nil }

func (w *queueWriter) run() {
	defer close(w.ended)
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-w.stop:
			w.drain()
			return
		}
	}
}

// drain writes the lines that wait.
func (w *queueWriter) drain() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			return
		}
	}
}

func (w *queueWriter) write(line []byte) {
	// There is no other place to report a failure of the output.
	_, _ = w.output.Write(line)
}
