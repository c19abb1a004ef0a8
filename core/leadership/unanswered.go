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

// MayUndo reports whether the platform may carry out the request after it has promoted another member with the token, and so make
// Member the primary again without what was written since. That Member led meanwhile does not matter: a repeated request may have
// been the one that was carried out.
func (u UnansweredPromotion) MayUndo(member string, token kv.Revision, now time.Time) bool {
	return u.Member != "" && u.Member != member && u.Token == token && now.Sub(u.SentAt) <= MaxUnansweredPromotionDelay
}
