package capacity

// Fleet is the size to design for.
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

// PlannedFleet is the fleet of the users' plan for two years. The document's size is
// what 2,500 groups with two routes each take; the sessions that wrote recently
// are those of a tenth of the callers.
func PlannedFleet() Fleet {
	return Fleet{
		Hosts: 1100, Groups: 2500, Zones: 6, Callers: 6.5e6, StatementsPerSecond: 1.1e6,
		ChangesPerDay: 5000, RestartsPerDay: 1300, MembersPerGroup: 3,
		DocumentKilobytes: 1000, ConnectionsPerGroup: 25, WritingSessionsPerHost: 591,
	}
}

// Budgets of a host for control.
const (
	ControlCPU     = 3.5 // percent of a core
	ControlMemory  = 32  // megabytes
	ControlTraffic = 3   // kilobytes a second
	StoreReads     = 2000.0
	SpreadSeconds  = 16.0
	PrimarySeconds = 15.0
)

// Statuses of a row.
const (
	Measured = "measured"
	Derived  = "derived"
	NotMet   = "not yet carried"
)

const (
	secondsPerDay = 86400
	kilo          = 1e3
	mega          = 1e6
	// busiestHostFactor is how many times the average number of groups the busiest host
	// owns, by rendezvous hashing of 2,500 groups over 1,100 hosts.
	busiestHostFactor = 4
	// keptRevisions is how many revisions of the document a host keeps: the newest, the
	// one in force if it is another, and four to make deltas from.
	keptRevisions = 6
	// forwardFanOut is how many hosts a host tells of a new revision at once, and how
	// many tell it.
	forwardFanOut = 3
	// idleProbeSeconds and defaultProbeSeconds are the pauses between probes of a
	// member of an idle group, and of a busy one by default.
	idleProbeSeconds    = 2
	defaultProbeSeconds = 0.05
	// probeBytes is what one probe with its answer takes without news.
	probeBytes = 250
)

// Row is a line of the table.
type Row struct {
	Role, What, Formula string
	Value               float64
	Unit                string
	Budget              string
	Status              string
	Mechanism           string
}
