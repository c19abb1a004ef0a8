package standin

import (
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"pearlatch/io/postgres"
)

// copy runs COPY FROM STDIN, whose rows are "key<TAB>value", or COPY TO STDOUT.
func (s *session) copy(sh *shape) *sqlError {
	if !sh.writes {
		return s.copyOut()
	}
	s.backend.Send(&pgproto3.CopyInResponse{ColumnFormatCodes: []uint16{0, 0}})
	if s.flush() != nil {
		return nil
	}
	var text strings.Builder
	for {
		msg, err := s.backend.Receive()
		if err != nil {
			return newError(postgres.CodeConnectionFailure, "copy: %v", err)
		}
		switch msg := msg.(type) {
		case *pgproto3.CopyData:
			text.Write(msg.Data)
		case *pgproto3.CopyFail:
			return newError(postgres.CodeQueryCanceled, "COPY from stdin failed: %s", msg.Message)
		case *pgproto3.CopyDone:
			return s.copyIn(text.String())
		}
	}
}

func (s *session) copyIn(text string) *sqlError {
	n := 0
	for line := range strings.Lines(text) {
		key, value, ok := strings.Cut(strings.TrimSuffix(line, "\n"), "\t")
		if !ok {
			continue
		}
		if err := s.put(itemsTable+key, value); err != nil {
			return err
		}
		n++
	}
	if !s.tx.open {
		if err := s.commitWrites(); err != nil {
			return err
		}
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("COPY " + strconv.Itoa(n))})
	return nil
}

func (s *session) copyOut() *sqlError {
	s.backend.Send(&pgproto3.CopyOutResponse{ColumnFormatCodes: []uint16{0, 0}})
	s.member.mu.Lock()
	var lines []string
	for k, v := range s.member.wal.state {
		if key, ok := strings.CutPrefix(k, itemsTable); ok {
			lines = append(lines, key+"\t"+v+"\n")
		}
	}
	s.member.mu.Unlock()
	for _, line := range lines {
		s.backend.Send(&pgproto3.CopyData{Data: []byte(line)})
	}
	s.backend.Send(&pgproto3.CopyDone{})
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("COPY " + strconv.Itoa(len(lines)))})
	return nil
}
