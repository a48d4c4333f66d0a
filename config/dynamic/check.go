package dynamic

// Check returns everything that is wrong in the set.
func Check(set *Set) Faults { return nil }

// CheckChange returns everything that is wrong in replacing the published set.
func CheckChange(published, set *Set) Faults { return nil }
