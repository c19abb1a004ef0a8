package lab

import (
	"testing"
	"time"

	"pearlatch/io/etcd"
)

// An operator's revision is accepted and in force, and the platform's service comes back from a copy that has the one
// before. The console shows what is in force, and the service refuses whatever is submitted on top of it: no operator
// could change anything any more, and a host that starts would run the older one. The hosts must write the revision back
// that the service has lost. The cause: hosts ignored a stored revision below the one in force ("revision 2 is in force,
// the service holds 1" for 30 s).
func TestLostRevisionIsWrittenBack(t *testing.T) {
	c := start(t, small())
	ctx := testContext(t)
	store := etcd.NewEtcd(c.endpoints())
	older, current, err := etcd.Current(ctx, store)
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := etcd.Submit(ctx, store, current.Number, "operator", current.Text)
	if err != nil {
		t.Fatal(err)
	}
	for c.Hosts[0].ConfigRevision() != accepted.Number || c.Hosts[1].ConfigRevision() != accepted.Number {
		if time.Sleep(20 * time.Millisecond); ctx.Err() != nil {
			t.Fatal("the revision did not come into force")
		}
	}
	c.Platform.Set(etcd.ConfigKey, older.Value)
	for {
		_, stored, err := etcd.Current(ctx, store)
		if err == nil && stored.Number == accepted.Number && stored.Submission == accepted.Submission {
			break
		}
		if time.Sleep(20 * time.Millisecond); ctx.Err() != nil {
			t.Fatalf("revision %d is in force, the service holds %d", c.Hosts[0].ConfigRevision(), stored.Number)
		}
	}
	if _, err := etcd.Submit(ctx, store, accepted.Number, "operator", accepted.Text); err != nil {
		t.Errorf("the next revision: %v", err)
	}
}
