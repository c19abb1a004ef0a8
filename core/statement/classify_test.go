package statement

import "testing"

func TestClassify(t *testing.T) {
	for _, c := range []struct {
		sql                 string
		kind                Kind
		pins                bool
		controlsTransaction bool
		id                  string
	}{
		{"SELECT 1", Read, false, false, ""},
		{"  -- why\n /* and */ select 1", Read, false, false, ""},
		{"(SELECT 1) UNION (SELECT 2)", Read, false, false, ""},
		{"SELECT * FROM t FOR UPDATE", Write, false, false, ""},
		{"SELECT pg_advisory_lock(1)", Write, true, false, ""},
		{"WITH k AS (SELECT 1 AS id) SELECT pg_advisory_lock(id) FROM k", Write, true, false, ""},
		{"INSERT INTO t SELECT set_config('a.b', 'c', false)", Write, true, false, ""},
		{"VALUES (pg_try_advisory_lock(1))", Write, true, false, ""},
		{"SELECT 1; DELETE FROM t", Write, false, false, ""},
		{"SELECT 1;", Read, false, false, ""},
		{"WITH x AS (DELETE FROM t RETURNING *) SELECT * FROM x", Write, false, false, ""},
		{"TABLE t", Read, false, false, ""},
		{"VALUES (1)", Read, false, false, ""},
		{"SHOW work_mem", Read, false, false, ""},
		{"BEGIN", Write, false, true, ""},
		{"begin transaction read only", Read, false, true, ""},
		{"START TRANSACTION READ ONLY", Read, false, true, ""},
		{"COMMIT", Write, false, true, ""},
		{"SET work_mem = '1MB'", Write, true, false, ""},
		{"SET LOCAL work_mem = '1MB'", Write, false, false, ""},
		{"SET TRANSACTION READ ONLY", Write, false, false, ""},
		{"CREATE TEMP TABLE t (i int)", Write, true, false, ""},
		{"CREATE TABLE t (i int)", Write, false, false, ""},
		{"LISTEN news", Write, true, false, ""},
		{"DECLARE c CURSOR WITH HOLD FOR SELECT 1", Write, true, false, ""},
		{"INSERT INTO t VALUES (1) /* pearlatch.request='x-1' */", Write, false, false, "x-1"},
		{"/*pearlatch.request = 'y'*/ UPDATE t SET i = 1", Write, false, false, "y"},
		{"/* pearlatch.request=z */ UPDATE t SET i = 1", Write, false, false, ""},
		{"", Write, false, false, ""},
	} {
		got := Classify(c.sql)
		if want := (Traits{Kind: c.kind, Pins: c.pins, ControlsTransaction: c.controlsTransaction, RequestID: c.id}); got != want {
			t.Errorf("Classify(%q) = %+v, want %+v", c.sql, got, want)
		}
	}
}

func FuzzClassify(f *testing.F) {
	f.Add("SELECT 1")
	f.Add("/* pearlatch.request='x' */ --")
	f.Fuzz(func(t *testing.T, sql string) {
		if got := Classify(sql); got.Kind == Read && got.ControlsTransaction && got.Pins {
			t.Errorf("Classify(%q) = %+v", sql, got)
		}
	})
}
