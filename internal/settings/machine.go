package settings

import "github.com/goldcrestspool/goldcrestspool/internal/tomlfile"

// MachineLimits tells how much memory and how many descriptors a process may use.
type MachineLimits struct {
	// MemoryMiB is the memory in MiB at which the process would be killed.
	// Default 256.
	MemoryMiB float64 `toml:"memory_mib"`
	// Descriptors is how many file descriptors the process may have open.
	// Default 1024.
	Descriptors int `toml:"descriptors"`
}

func defaultMachineLimits() MachineLimits { return MachineLimits{MemoryMiB: 256, Descriptors: 1024} }

func checkMachineLimits(s *tomlfile.Source, m MachineLimits) {
	s.Check(m.MemoryMiB >= 32, "machine.memory_mib", "is too small", "32 or more")
	s.Check(m.Descriptors >= 64, "machine.descriptors", "is too small", "64 or more")
}
