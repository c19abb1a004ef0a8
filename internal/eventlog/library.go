package eventlog

import (
	stdlog "log"
	"strings"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// CaptureLibraries passes the messages that libraries write to the standard logger to l, as lines of the event
// "library_message". A message ends before its first quotation mark: net/http quotes what a peer has sent, which may hold
// keys. The returned function undoes it.
func CaptureLibraries(l log.Logger) (undo func()) {
	out, flags := stdlog.Writer(), stdlog.Flags()
	stdlog.SetFlags(0)
	stdlog.SetOutput(libraryWriter{l})
	return func() {
		stdlog.SetFlags(flags)
		stdlog.SetOutput(out)
	}
}

// libraryWriter is the output of the standard logger, which writes a message at a time.
type libraryWriter struct{ logger log.Logger }

// Write implements io.Writer.
func (w libraryWriter) Write(p []byte) (int, error) {
	message, _, _ := strings.Cut(string(p), `"`)
	return len(p), level.Warn(w.logger).Log(EventField, "library_message", "message", strings.TrimSpace(message))
}
