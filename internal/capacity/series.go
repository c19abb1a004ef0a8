package capacity

import "math"

// Point is one measurement: a size X, and the value Y measured at that size.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Series is a series of measurements of one quantity at several sizes.
type Series struct {
	// Name identifies the series.
	Name string `json:"name"`
	// PerUnit is the unit of X, and Unit the unit of Y.
	PerUnit string  `json:"per"`
	Unit    string  `json:"unit"`
	Points  []Point `json:"points"`
}

// Fit is a straight line fitted to a series.
type Fit struct {
	// Intercept is the value at size zero, and Slope the increase per unit of size.
	Intercept, Slope float64
	// MaxDeviation is the largest distance of a point from the line, as a fraction of the largest absolute value. A
	// large deviation shows that the quantity is not linear.
	MaxDeviation float64
}

// Fit returns the least-squares line. A single point gives a line through the origin.
func (s Series) Fit() Fit {
	n := float64(len(s.Points))
	if n == 0 {
		return Fit{}
	}
	var sx, sy, sxx, sxy, maxY float64
	for _, p := range s.Points {
		sx, sy = sx+p.X, sy+p.Y
		sxx, sxy = sxx+p.X*p.X, sxy+p.X*p.Y
		maxY = max(maxY, math.Abs(p.Y))
	}
	f := Fit{Slope: sy / max(sx, 1)}
	if d := n*sxx - sx*sx; d != 0 {
		f.Slope = (n*sxy - sx*sy) / d
		f.Intercept = (sy - f.Slope*sx) / n
	}
	for _, p := range s.Points {
		if maxY > 0 {
			f.MaxDeviation = max(f.MaxDeviation, math.Abs(p.Y-f.At(p.X))/maxY)
		}
	}
	return f
}

// At returns the value of the line at size x.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }

// Names of the series from which the table is computed.
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
