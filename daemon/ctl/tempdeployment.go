package ctl

import (
	"fmt"
	"os"
	"path/filepath"
)

// tempDeployment holds the paths of a deployment that a command runs in a
// temporary directory.
type tempDeployment struct {
	// toolPath and daemonPath are the paths of cactusctl and cactusknot, which must be
	// in the same directory.
	toolPath   string
	daemonPath string
	// dir receives the settings and logs.
	dir string
}

// withTempDeployment calls run with a new temporary directory. It removes the
// directory afterwards unless keep is set or run fails; in that case it prints the
// path.
func withTempDeployment(env Env, pattern string, keep bool, run func(tempDeployment) error) error {
	tool, err := os.Executable()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", pattern)
	if err != nil {
		return err
	}
	err = run(tempDeployment{toolPath: tool, daemonPath: filepath.Join(filepath.Dir(tool), "cactusknot"), dir: dir})
	if keep || err != nil {
		fmt.Fprintln(env.Stderr, "settings and logs:", dir)
	} else {
		_ = os.RemoveAll(dir)
	}
	return err
}
