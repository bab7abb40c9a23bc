package telemetry

import (
	"io"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Keys that every log line has.
const (
	// TimeKey holds the time in UTC, in RFC 3339 with milliseconds.
	TimeKey = "ts"
	// LevelKey holds debug, info, warn or error.
	LevelKey = "level"
	// EventKey holds the event's name, the message of the zap call.
	EventKey = "event"
)

const timeLayout = "2006-01-02T15:04:05.000Z07:00"

// NewLogger returns a logger that writes one line of key=value pairs per event
// to w, without stack traces. Events below level are dropped. Writes to w come
// one at a time.
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
	return zap.New(shortErrors{core})
}

func encodeTime(t time.Time, enc zapcore.PrimitiveArrayEncoder) {
	enc.AppendString(t.UTC().Format(timeLayout))
}

// shortErrors is a core that writes an error as its text alone. zap adds a
// second key with "%+v" to an error that can format itself, and errorx puts a
// whole stack trace there, which would bury the event.
type shortErrors struct {
	zapcore.Core
}

// With implements zapcore.Core.
func (c shortErrors) With(fields []zapcore.Field) zapcore.Core {
	return shortErrors{c.Core.With(shorten(fields))}
}

// Check implements zapcore.Core.
func (c shortErrors) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(entry.Level) {
		return checked
	}
	return checked.AddCore(entry, c)
}

// Write implements zapcore.Core.
func (c shortErrors) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(entry, shorten(fields))
}

// shorten returns fields with each error reduced to its text. It leaves the
// given slice alone, which belongs to the caller of the logger.
func shorten(fields []zapcore.Field) []zapcore.Field {
	var short []zapcore.Field
	for i, field := range fields {
		if field.Type != zapcore.ErrorType {
			continue
		}
		if short == nil {
			short = append(short, fields...)
		}
		short[i].Interface = textOnly{field.Interface.(error)}
	}
	if short == nil {
		return fields
	}
	return short
}

// textOnly hides every method of an error but Error.
type textOnly struct{ err error }

func (e textOnly) Error() string { return e.err.Error() }
