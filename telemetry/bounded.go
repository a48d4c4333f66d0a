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
	// logQueueLines is the number of lines that are queued for a slow output.
	// Further lines are dropped.
	logQueueLines = 2048
	// samplingFirst is the number of lines with the same message and level that are
	// written per second. Beyond that, one line in samplingThereafter is written.
	samplingFirst      = 50
	samplingThereafter = 20
	// dropReportInterval is the time between two lines that report dropped lines.
	dropReportInterval = time.Second
	// flushTimeout bounds the wait for the output in Close.
	flushTimeout = 500 * time.Millisecond
)

// BoundedLog is a logger with bounded volume that never blocks on its output.
type BoundedLog struct {
	*zap.Logger
	writer     *queueWriter
	sampledOut atomic.Uint64
	// stopReport ends reportDrops, which closes reportEnded.
	stopReport  chan struct{}
	reportEnded chan struct{}
}

// NewBoundedLog returns a logger that writes JSON lines at the level and above from
// a separate goroutine. Lines dropped by sampling or because the queue is full are
// counted in the metrics and reported in at most one line per second. It returns
// an error when the level is unknown. Close ends its goroutines.
func NewBoundedLog(output io.Writer, level string, m *Metrics) (*BoundedLog, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	l := &BoundedLog{
		writer:      &queueWriter{output: output, lines: make(chan []byte, logQueueLines), stop: make(chan struct{}), ended: make(chan struct{})},
		stopReport:  make(chan struct{}),
		reportEnded: make(chan struct{}),
	}
	core := zapcore.NewCore(newEncoder(), l.writer, parsed)
	sampler := zapcore.NewSamplerWithOptions(core, time.Second, samplingFirst, samplingThereafter, zapcore.SamplerHook(l.countSampledOut))
	l.Logger = zap.New(sampler)
	go l.writer.run()
	go l.reportDrops(m)
	return l, nil
}

// countSampledOut counts a line that the sampler has dropped.
func (l *BoundedLog) countSampledOut(_ zapcore.Entry, decision zapcore.SamplingDecision) {
	if decision&zapcore.LogDropped != 0 {
		l.sampledOut.Add(1)
	}
}

// reportDrops counts and logs the number of dropped lines once per second.
func (l *BoundedLog) reportDrops(m *Metrics) {
	defer close(l.reportEnded)
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	sampledCounter := m.Counter("ferry_log_lines_dropped_total", "cause", "sampled")
	queueFullCounter := m.Counter("ferry_log_lines_dropped_total", "cause", "queue_full")
	for {
		select {
		case <-ticker.C:
		case <-l.stopReport:
			return
		}
		sampledOut, queueFull := l.sampledOut.Swap(0), l.writer.dropped.Swap(0)
		sampledCounter.Add(int(sampledOut))
		queueFullCounter.Add(int(queueFull))
		if sampledOut+queueFull > 0 {
			l.Warn("log lines dropped", zap.Uint64("sampled", sampledOut), zap.Uint64("queue_full", queueFull))
		}
	}
}

// Close writes the queued lines for at most flushTimeout. Lines logged afterwards
// are not written. Close must not be called twice.
func (l *BoundedLog) Close() {
	close(l.stopReport)
	<-l.reportEnded
	close(l.writer.stop)
	select {
	case <-l.writer.ended:
	case <-time.After(flushTimeout):
	}
}

// queueWriter queues lines for a goroutine that writes them, and drops lines when
// the queue is full.
type queueWriter struct {
	output  io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	// stop ends run, which closes ended.
	stop  chan struct{}
	ended chan struct{}
}

// Write implements io.Writer. It never blocks and never fails.
func (w *queueWriter) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case w.lines <- copied:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing.
func (w *queueWriter) Sync() error { return nil }

// run writes queued lines until stop is closed, then those that are left.
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

// drain writes the lines left in the queue.
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
