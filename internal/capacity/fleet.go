package capacity

// Fleet describes the size of a fleet.
type Fleet struct {
	Hosts, Groups, Zones         float64
	Callers, StatementsPerSecond float64
	ChangesPerDay                float64
	RestartsPerDay               float64
	MembersPerGroup              float64
	DocumentKilobytes            float64
	ConnectionsPerGroup          float64
	WritingSessionsPerHost       float64
}

// PlannedFleet returns the fleet that the users plan for two years from now. The document's size is that of 2,500
// groups with two routes each. The sessions with recent writes are those of a tenth of the callers.
func PlannedFleet() Fleet {
	return Fleet{
		Hosts: 1100, Groups: 2500, Zones: 6, Callers: 6.5e6, StatementsPerSecond: 1.1e6,
		ChangesPerDay: 5000, RestartsPerDay: 1300, MembersPerGroup: 3,
		DocumentKilobytes: 1000, ConnectionsPerGroup: 25, WritingSessionsPerHost: 591,
	}
}

// Budgets of a host for control work.
const (
	ControlCPU     = 3.5 // percent of a core
	ControlMemory  = 32  // megabytes
	ControlTraffic = 3   // kilobytes per second
	StoreReads     = 2000.0
	SpreadSeconds  = 16.0
	PrimarySeconds = 15.0
)

// Values of Row.Status.
const (
	Measured = "measured"
	Derived  = "derived"
	NotMet   = "not yet carried"
)

const (
	secondsPerDay = 86400
	kilo          = 1e3
	mega          = 1e6
	// busiestHostFactor is the ratio of the busiest host's number of groups to the average, with rendezvous hashing
	// of 2,500 groups over 1,100 hosts.
	busiestHostFactor = 4
	// keptRevisions is the number of revisions of the document that a host keeps: the newest one, the one in force if
	// it differs, and four to compute deltas from.
	keptRevisions = 6
	// forwardFanOut is how many hosts a host notifies of a new revision at once, and how many notify it.
	forwardFanOut = 3
	// idleProbeSeconds and defaultProbeSeconds are the intervals between probes of a member, of an idle group and by
	// default of a busy one.
	idleProbeSeconds    = 2
	defaultProbeSeconds = 0.05
	// probeBytes is the size of a probe and its response if they carry no updates.
	probeBytes = 250
)

// Row is a row of the table.
type Row struct {
	Role, What, Formula string
	Value               float64
	Unit                string
	Budget              string
	Status              string
	Mechanism           string
}
