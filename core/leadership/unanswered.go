package leadership

import (
	"time"

	"pearlatch/core/kv"
)

// MaxUnansweredPromotionDelay is how long after a promotion request without an answer the platform may still carry it out:
// delayed calls on users' platforms are carried out up to 6 s later.
const MaxUnansweredPromotionDelay = 8 * time.Second

// UnansweredPromotion is the last promotion request of a coordinator that got no answer. The zero value means that there is none.
type UnansweredPromotion struct {
	Member string
	Token  kv.Revision
	SentAt time.Time
}

// MayUndo reports whether the request may be carried out after the promotion of another member with the given token. It would
// make Member the primary again, without what was written since. That Member has led since the request does not rule that out:
// a repetition of the request may be what the platform carried out.
func (u UnansweredPromotion) MayUndo(member string, token kv.Revision, now time.Time) bool {
	return u.Member != "" && u.Member != member && u.Token == token && now.Sub(u.SentAt) <= MaxUnansweredPromotionDelay
}
