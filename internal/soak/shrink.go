package soak

// Shrink removes each fault without which the schedule still fails, and returns the remaining faults. It
// makes one pass, from the first fault to the last, and doesn't change its argument.
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
