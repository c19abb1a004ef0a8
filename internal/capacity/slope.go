package capacity

import "math"

// Point is one measurement: a size and what was measured at it.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Series is a measured quantity against a size.
type Series struct {
	// Name identifies the slope.
	Name string `json:"name"`
	// PerUnit says what one step of X is, and Unit what Y is.
	PerUnit string  `json:"per"`
	Unit    string  `json:"unit"`
	Points  []Point `json:"points"`
}

// Fit is a straight line through the points of a slope.
type Fit struct {
	// Intercept is the value at size zero, and Slope what each unit adds.
	Intercept, Slope float64
	// MaxDeviation is the largest distance of a point from the line, as a share of the
	// largest value. A large one says that the quantity is not linear.
	MaxDeviation float64
}

// Fit returns the line of least squares. A single point gives a line through
// zero.
func (s Series) Fit() Fit {
	n := float64(len(s.Points))
	if n == 0 {
		return Fit{}
	}
	var sx, sy, sxx, sxy, top float64
	for _, p := range s.Points {
		sx, sy = sx+p.X, sy+p.Y
		sxx, sxy = sxx+p.X*p.X, sxy+p.X*p.Y
		top = max(top, math.Abs(p.Y))
	}
	f := Fit{Slope: sy / max(sx, 1)}
	if d := n*sxx - sx*sx; d != 0 {
		f.Slope = (n*sxy - sx*sy) / d
		f.Intercept = (sy - f.Slope*sx) / n
	}
	for _, p := range s.Points {
		if top > 0 {
			f.MaxDeviation = max(f.MaxDeviation, math.Abs(p.Y-f.At(p.X))/top)
		}
	}
	return f
}

// At returns the line's value at a size.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }

// Names of the slopes that the table is worked out from.
const (
	CallerBytes      = "entry.bytes_per_idle_caller"
	SameHostCPU      = "entry.cpu_us_per_statement_same_host"
	OneHopCPU        = "entry.cpu_us_per_statement_one_hop"
	GroupBytes       = "owner.heap_bytes_per_group"
	GroupCPU         = "owner.cpu_percent_per_idle_group"
	GroupTraffic     = "owner.member_bytes_s_per_idle_group"
	MarkBytes        = "owner.bytes_per_session_mark"
	StreamBytes      = "peer.heap_bytes_per_idle_stream"
	KnownHostBytes   = "membership.heap_bytes_per_known_host"
	FleetTraffic     = "membership.bytes_s_by_fleet_size"
	FleetCPU         = "membership.cpu_percent_by_fleet_size"
	DocumentCPU      = "config.cpu_ms_per_document_kilobyte"
	DocumentBytes    = "config.heap_bytes_per_document_byte"
	DeltaBytes       = "config.delta_bytes_by_document_kilobyte"
	PlatformCalls    = "reader.platform_calls_s_by_fleet_size"
	TakeoverDuration = "owner.takeover_ms"
)
