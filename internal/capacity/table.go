package capacity

import (
	"fmt"
	"strings"
)

// fits are the fitted slopes by name.
type fits map[string]Fit

// Compute returns the table of a fleet.
func Compute(f Fleet, slopes []Series) []Row {
	fit := fits{}
	for _, s := range slopes {
		fit[s.Name] = s.Fit()
	}
	groups := f.Groups / f.Hosts
	rows := entryRows(f, fit)
	rows = append(rows, ownerRows(f, fit, groups)...)
	rows = append(rows, controlRows(f, fit, groups)...)
	return append(rows, platformRows(f, fit)...)
}

func entryRows(f Fleet, fit fits) []Row {
	callers := f.Callers / f.Hosts
	statements := f.StatementsPerSecond / f.Hosts
	hop := 1 - 1/f.Hosts
	cpu := fit[SameHostCPU].Slope + (fit[OneHopCPU].Slope-fit[SameHostCPU].Slope)*hop
	return []Row{
		{"entry", "callers", "6.5 M / 1,100", callers, "callers", "", Derived, "the platform's balancer"},
		{"entry", "memory for callers", "callers x bytes_per_idle_caller", callers * fit[CallerBytes].Slope / mega, "MB", "16 KB a caller", Measured, "one goroutine and a 2 KB read buffer a caller"},
		{"entry", "processor time for statements", "statements/s x cpu_us_per_statement", statements * cpu / mega * 100, "% of a core", "", Measured, "units forwarded whole over kept streams"},
		{"entry", "idle streams to owners", "at most 256 x heap_bytes_per_idle_stream x 2 ends", 2 * 256 * fit[StreamBytes].Slope / mega, "MB", "", Measured, "a cap over all hosts; busy streams come on top: statements/s x their time"},
	}
}

func ownerRows(f Fleet, fit fits, groups float64) []Row {
	return []Row{
		{"owner", "groups owned, average", "2,500 / 1,100", groups, "groups", "", Derived, "rendezvous hashing, spread over availability zones"},
		{"owner", "groups owned, busiest host", "average x unevenness", groups * busiestHostFactor, "groups", "", Derived, "rendezvous hashing"},
		{"owner", "memory for groups", "groups x heap_bytes_per_group", groups * fit[GroupBytes].Slope / mega, "MB", "", Measured, "one goroutine a member, one queue a group"},
		{"owner", "connections to members", "groups x 25", groups * f.ConnectionsPerGroup, "connections", "25 a group", Derived, "one owner a group pools them"},
		{"owner", "session marks", "writing sessions x bytes_per_session_mark", f.WritingSessionsPerHost * fit[MarkBytes].Slope / mega, "MB", "", Measured, "marks go when all replicas have passed them"},
		{"owner", "takeover after a host's loss", "detection + takeover_ms", fit[TakeoverDuration].At(1) / kilo, "s", fmt.Sprintf("%.0f s", PrimarySeconds), Measured, "owner lock on the primary; evidence from failed requests"},
	}
}

// controlRows are held against a host's budgets for control.
func controlRows(f Fleet, fit fits, groups float64) []Row {
	changes := f.ChangesPerDay / secondsPerDay
	parse := changes * fit[DocumentCPU].Slope * f.DocumentKilobytes / kilo * 100
	beliefs := fit[FleetCPU].At(f.Hosts)
	watch := groups * fit[GroupCPU].Slope
	cpu := beliefs + parse + watch
	document := fit[DocumentBytes].Slope*f.DocumentKilobytes*kilo/mega + (keptRevisions-1)*f.DocumentKilobytes*kilo/mega
	hosts := f.Hosts * fit[KnownHostBytes].Slope / mega
	memory := document + hosts + groups*fit[GroupBytes].Slope/mega
	deltas := changes * (fit[DeltaBytes].At(f.DocumentKilobytes)*2 + 2*forwardFanOut*probeBytes)
	beliefTraffic := fit[FleetTraffic].At(f.Hosts)
	restarts := f.RestartsPerDay / secondsPerDay * 2 * 33 * 110
	peers := (beliefTraffic + deltas + restarts) / kilo
	members := groups * fit[GroupTraffic].Slope / kilo
	busy := members * idleProbeSeconds / defaultProbeSeconds
	cpuBudget := fmt.Sprintf("%.1f %% in all", ControlCPU)
	memoryBudget := fmt.Sprintf("%d MB in all", ControlMemory)
	trafficBudget := fmt.Sprintf("%d KB/s", ControlTraffic)
	return []Row{
		{"control", "processor time: membership", "cpu_percent_by_fleet_size at 1,100", beliefs, "% of a core", cpuBudget, Derived, "8 neighbours, whatever the fleet"},
		{"control", "processor time: configuration", "changes/s x cpu_ms_per_document_kilobyte x 1,000", parse, "% of a core", cpuBudget, Measured, "the whole document is parsed at each change"},
		{"control", "processor time: watching groups", "groups x cpu_percent_per_idle_group", watch, "% of a core", cpuBudget, Measured, "a probe of each member every 2 s while a group is idle"},
		{"control", "processor time in all", "sum", cpu, "% of a core", cpuBudget, budgetStatus(cpu <= ControlCPU), "the three rows above"},
		{"control", "memory: document and earlier revisions", "heap_bytes_per_document_byte x 1 MB + 5 texts", document, "MB", memoryBudget, Measured, "four revisions kept to make deltas from"},
		{"control", "memory: known hosts", "1,100 x heap_bytes_per_known_host", hosts, "MB", memoryBudget, Measured, "every host knows every host"},
		{"control", "memory in all", "sum with groups", memory, "MB", memoryBudget, budgetStatus(memory <= ControlMemory), "the two rows above and the owner's"},
		{"control", "traffic between hosts", "bytes_s_by_fleet_size + changes/s x delta + restarts/s x claims", peers, "KB/s", trafficBudget, budgetStatus(peers <= ControlTraffic), "neighbours; deltas; claims passed on 33 times"},
		{"control", "traffic to members of idle groups", "groups x member_bytes_s_per_idle_group", members, "KB/s", trafficBudget, budgetStatus(members+peers <= ControlTraffic), "a probe of each member every 2 s while a group is idle"},
		{"control", "traffic to members of busy groups, probe_interval 50 ms", "the same x 2 s / 50 ms", busy, "KB/s", trafficBudget, budgetStatus(busy+peers <= ControlTraffic), "probe_interval 2s at this size: requests that wait have the members asked anyway"},
		{"control", "traffic in all", "hosts + members at 2 s", members + peers, "KB/s", trafficBudget, budgetStatus(members+peers <= ControlTraffic), "the rows above"},
	}
}

func budgetStatus(fits bool) string {
	if fits {
		return Derived
	}
	return NotMet
}

func platformRows(f Fleet, fit fits) []Row {
	readers := fit[PlatformCalls].At(f.Hosts)
	rest := f.Hosts / 10
	return []Row{
		{"reader", "platform calls of the readers", "platform_calls_s_by_fleet_size", readers, "calls/s", "", Measured, "2 readers, a watch counted as a call"},
		{"platform", "calls of all others", "1,100 / 10 s", rest, "calls/s", "", Derived, "every host looks at the revision, without its value, every 10 s"},
		{"platform", "reads in all", "sum", readers + rest, "calls/s", fmt.Sprintf("%.0f reads/s", StoreReads), budgetStatus(readers+rest <= StoreReads), "no call on the way of a statement"},
		{"platform", "writes", "changes/s", f.ChangesPerDay / secondsPerDay, "writes/s", "several hundred", Derived, "one transaction a change"},
		{"platform", "value", "a document of 1 MB, compressed", f.DocumentKilobytes / 10, "KB", "1 MB", Derived, "zstd; a document that does not fit is refused"},
	}
}

// Markdown returns the table, and the slopes that it was worked out from.
func Markdown(rows []Row, slopes []Series) string {
	var b strings.Builder
	b.WriteString("| role | what | formula | value | budget | status | carried by |\n|---|---|---|---|---|---|---|\n")
	for _, r := range rows {
		fmt.Fprintf(&b, "| %s | %s | %s | %.3g %s | %s | %s | %s |\n", r.Role, r.What, r.Formula, r.Value, r.Unit, r.Budget, r.Status, r.Mechanism)
	}
	b.WriteString("\n| slope | per | measured at | base | step | spread |\n|---|---|---|---|---|---|\n")
	for _, s := range slopes {
		f := s.Fit()
		var sizes []string
		for _, p := range s.Points {
			sizes = append(sizes, fmt.Sprintf("%g: %.4g", p.X, p.Y))
		}
		fmt.Fprintf(&b, "| %s (%s) | %s | %s | %.4g | %.4g | %.0f %% |\n", s.Name, s.Unit, s.PerUnit, strings.Join(sizes, ", "), f.Intercept, f.Slope, 100*f.MaxDeviation)
	}
	return b.String()
}
