package telemetry

import (
	"io"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLog returns a log of JSON lines, one for each entry, at the level and above.
func NewLog(output io.Writer, level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	return zap.New(zapcore.NewCore(newEncoder(), zapcore.Lock(zapcore.AddSync(output)), parsed)), nil
}

func newEncoder() zapcore.Encoder {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zapcore.NewJSONEncoder(config)
}
