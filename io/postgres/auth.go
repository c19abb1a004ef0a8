package postgres

import (
	"crypto/rand"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
	"github.com/xdg-go/scram"
)

const (
	scramIterations = 4096
	scramSaltSize   = 16
	scramMechanism  = "SCRAM-SHA-256"
	// maxAuthMessageSize is the size limit of a message from a caller that is not
	// authenticated, in bytes. SCRAM messages have a few hundred.
	maxAuthMessageSize = 8 << 10
)

// Verifier holds the SCRAM credentials with which a server checks a password
// without storing it.
type Verifier struct {
	stored scram.StoredCredentials
}

// NewVerifier derives a verifier from a password, which must be valid UTF-8.
func NewVerifier(password string) (*Verifier, error) {
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		return nil, errors.Wrap(err, "derive verifier")
	}
	salt := make([]byte, scramSaltSize)
	rand.Read(salt)
	stored, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: scramIterations})
	if err != nil {
		return nil, errors.Wrap(err, "derive verifier")
	}
	return &Verifier{stored: stored}, nil
}

// ErrInvalidPassword is returned by Authenticate for a wrong password or an
// unknown user.
var ErrInvalidPassword = errors.New("password authentication failed")

// Authenticate runs the server side of SCRAM-SHA-256 over backend. A nil
// verifier stands for an unknown user: it fails after the same exchange as a
// wrong password, so that user names cannot be probed.
func Authenticate(backend *pgproto3.Backend, v *Verifier) error {
	known := v != nil
	if !known {
		var err error
		if v, err = NewVerifier(rand.Text()); err != nil {
			return err
		}
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		return v.stored, nil
	})
	if err != nil {
		return errors.Wrap(err, "authenticate")
	}
	if err := exchangeSCRAM(backend, server.NewConversation()); err != nil {
		return err
	}
	if !known {
		return ErrInvalidPassword
	}
	return nil
}

func exchangeSCRAM(backend *pgproto3.Backend, conv *scram.ServerConversation) error {
	backend.SetMaxBodyLen(maxAuthMessageSize)
	defer backend.SetMaxBodyLen(0)
	backend.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}})
	first, err := receiveSASL[*pgproto3.SASLInitialResponse](backend, pgproto3.AuthTypeSASL)
	if err != nil {
		return err
	}
	if first.AuthMechanism != scramMechanism {
		return errors.Errorf("authenticate: mechanism %q", first.AuthMechanism)
	}
	challenge, err := conv.Step(string(first.Data))
	if err != nil {
		return ErrInvalidPassword
	}
	backend.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)})
	second, err := receiveSASL[*pgproto3.SASLResponse](backend, pgproto3.AuthTypeSASLContinue)
	if err != nil {
		return err
	}
	final, err := conv.Step(string(second.Data))
	if err != nil || !conv.Valid() {
		return ErrInvalidPassword
	}
	backend.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(final)})
	return nil
}

func receiveSASL[M pgproto3.FrontendMessage](backend *pgproto3.Backend, auth uint32) (M, error) {
	var none M
	if err := backend.Flush(); err != nil {
		return none, errors.Wrap(err, "authenticate: send")
	}
	if err := backend.SetAuthType(auth); err != nil {
		return none, errors.Wrap(err, "authenticate")
	}
	msg, err := backend.Receive()
	if err != nil {
		return none, errors.Wrap(err, "authenticate: receive")
	}
	m, ok := msg.(M)
	if !ok {
		return none, errors.Errorf("authenticate: unexpected message %T", msg)
	}
	return m, nil
}
