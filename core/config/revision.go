package config

import "time"

// Revision is an accepted version of the document. Numbers increase with each revision.
type Revision struct {
	// Number is at least one. Zero means that there is no revision.
	Number uint64
	// Author names the operator who submitted it.
	Author string
	// At is the time of submission.
	At time.Time
	// Submission identifies the submission. If its answer is lost, the submitter reads the
	// revision back and compares the identifier.
	Submission string
	// Text is the document as YAML.
	Text []byte
}
