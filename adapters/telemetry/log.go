package telemetry

import (
	"io"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Keys of every log line.
const (
	// TimeKey holds the time in UTC, in RFC 3339 with milliseconds.
	TimeKey = "ts"
	// LevelKey holds debug, info, warn or error.
	LevelKey = "level"
	// EventKey holds the event name, the message of the zap call.
	EventKey = "event"
)

const timeLayout = "2006-01-02T15:04:05.000Z07:00"

// NewLogger returns a logger that writes one line of key=value pairs per event
// to w, without stack traces. Events below level are dropped. Writes to w are
// serialized.
func NewLogger(level zapcore.Level, w io.Writer) *zap.Logger {
	encoder := zaplogfmt.NewEncoder(zapcore.EncoderConfig{
		TimeKey:        TimeKey,
		LevelKey:       LevelKey,
		MessageKey:     EventKey,
		EncodeTime:     encodeTime,
		EncodeLevel:    zapcore.LowercaseLevelEncoder,
		EncodeDuration: zapcore.StringDurationEncoder,
	})
	core := zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(w)), level)
	return zap.New(plainErrorCore{core})
}

func encodeTime(t time.Time, enc zapcore.PrimitiveArrayEncoder) {
	enc.AppendString(t.UTC().Format(timeLayout))
}

// plainErrorCore is a core that writes only the message of an error. zap adds a
// second key with "%+v" for an error that implements fmt.Formatter, and errorx
// prints a complete stack trace there, which would make the log unreadable.
type plainErrorCore struct {
	zapcore.Core
}

// With implements zapcore.Core.
func (c plainErrorCore) With(fields []zapcore.Field) zapcore.Core {
	return plainErrorCore{c.Core.With(plainErrors(fields))}
}

// Check implements zapcore.Core.
func (c plainErrorCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(entry.Level) {
		return checked
	}
	return checked.AddCore(entry, c)
}

// Write implements zapcore.Core.
func (c plainErrorCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(entry, plainErrors(fields))
}

// plainErrors returns fields with each error reduced to its message. It does
// not modify the given slice, which belongs to the caller of the logger.
func plainErrors(fields []zapcore.Field) []zapcore.Field {
	var plain []zapcore.Field
	for i, field := range fields {
		if field.Type != zapcore.ErrorType {
			continue
		}
		if plain == nil {
			plain = append(plain, fields...)
		}
		plain[i].Interface = plainError{field.Interface.(error)}
	}
	if plain == nil {
		return fields
	}
	return plain
}

// plainError hides every method of an error but Error.
type plainError struct{ err error }

func (e plainError) Error() string { return e.err.Error() }
