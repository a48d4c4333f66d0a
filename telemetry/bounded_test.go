package telemetry

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// blockableBuffer is an output that blocks while its mutex is held.
type blockableBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *blockableBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func TestRepeatedMessageIsSampled(t *testing.T) {
	output := &blockableBuffer{}
	log, err := NewBoundedLog(output, "info", New())
	assert.NilError(t, err)
	const lines = 5000
	for range lines {
		log.Info("request refused")
	}
	log.Info("started")
	log.Close()
	written := strings.Count(output.text.String(), "request refused")
	assert.Assert(t, written >= samplingFirst && written < lines/2, "%d lines", written)
	assert.Equal(t, strings.Count(output.text.String(), "started"), 1)
}

func TestSlowOutputDoesNotBlockLogging(t *testing.T) {
	output := &blockableBuffer{}
	log, err := NewBoundedLog(output, "info", New())
	assert.NilError(t, err)
	output.mu.Lock()
	for i := range 2 * logQueueLines {
		// Lines with distinct messages are not dropped by sampling.
		log.Info(fmt.Sprint("line ", i))
	}
	output.mu.Unlock()
	log.Close()
	written := strings.Count(output.text.String(), "\n")
	assert.Assert(t, written > 0 && written <= logQueueLines+logQueueLines/2, "%d lines", written)
}

func TestLogLevelIsParsedAndApplied(t *testing.T) {
	_, err := NewBoundedLog(&blockableBuffer{}, "loud", New())
	assert.Assert(t, err != nil)
	log, err := NewBoundedLog(&blockableBuffer{}, "warn", New())
	assert.NilError(t, err)
	assert.Assert(t, !log.Core().Enabled(zap.InfoLevel))
	log.Close()
}
