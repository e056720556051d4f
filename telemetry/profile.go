package telemetry

import (
	"os"
	"runtime/pprof"
)

// WriteProfile writes a CPU profile of the process to a file until the returned function is called.
func WriteProfile(path string) (stop func(), err error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		return nil, err
	}
	return func() {
		pprof.StopCPUProfile()
		_ = file.Close()
	}, nil
}
