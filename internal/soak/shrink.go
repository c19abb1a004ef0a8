package soak

// Shrink drops faults of a schedule one by one for as long as it still fails, and returns what is left.
func Shrink(faults []Fault, fails func([]Fault) bool) []Fault {
	for i := 0; i < len(faults); {
		without := append(append([]Fault(nil), faults[:i]...), faults[i+1:]...)
		if fails(without) {
			faults = without
			continue
		}
		i++
	}
	return faults
}
