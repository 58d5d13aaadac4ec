package ctl

import (
	"fmt"
	"os"
	"path/filepath"
)

// scratch is where a command runs a deployment of its own.
type scratch struct {
	// tool and daemon are the two binaries, which stand in one directory.
	tool   string
	daemon string
	// dir gets settings and logs.
	dir string
}

// withScratch calls run with a new directory. The directory is removed unless
// keep is set or run fails; then its path is printed.
func withScratch(env Env, pattern string, keep bool, run func(scratch) error) error {
	tool, err := os.Executable()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", pattern)
	if err != nil {
		return err
	}
	err = run(scratch{tool: tool, daemon: filepath.Join(filepath.Dir(tool), "cactusknot"), dir: dir})
	if keep || err != nil {
		fmt.Fprintln(env.Stderr, "settings and logs:", dir)
	} else {
		_ = os.RemoveAll(dir)
	}
	return err
}
