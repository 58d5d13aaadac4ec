package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"regexp"

	"cactusknot.example/daemon/auth"
)

// namePattern matches the names of VMs and operators that are safe in file names
// and URI paths.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

const dirMode = 0o700

func keygenCommand() Command {
	return commandGroup("keygen", "create operator keys, the deployment's CA and node certificates",
		map[string]func(context.Context, Env, []string) int{
			"operator": keygenOperator, "ca": keygenCA, "node": keygenNode,
		}, "operator", "ca", "node")
}

func keygenOperator(ctx context.Context, env Env, args []string) int {
	inv := newInvocation(env, "keygen operator", "", "Writes an operator's or root key pair and prints the public part for the bundle or settings.")
	name := inv.flags.String("name", "", "`NAME` of the operator")
	out := inv.flags.String("out", "", "`FILE` to write; it must not exist")
	return inv.run(ctx, func(context.Context) error {
		if err := inv.parse(args, 0, 0); err != nil {
			return err
		}
		if !namePattern.MatchString(*name) || *out == "" {
			return fmt.Errorf("%w: -name and -out must be set", errUsage)
		}
		k, err := newKeyFile(*name)
		if err != nil {
			return err
		}
		if err := k.write(*out); err != nil {
			return err
		}
		inv.print(k.operator(), func(w io.Writer) {
			fmt.Fprintf(w, "{\"name\": %q, \"public_key\": %q}\n", k.Name, k.PublicKey)
		})
		return nil
	})
}

func keygenCA(ctx context.Context, env Env, args []string) int {
	inv := newInvocation(env, "keygen ca", "", "Writes ca.pem and ca-key.pem.")
	out := inv.flags.String("out", ".", "`DIR` to write to")
	name := inv.flags.String("name", "cactusknot", "`NAME` in the certificate")
	return inv.run(ctx, func(context.Context) error {
		if err := inv.parse(args, 0, 0); err != nil {
			return err
		}
		if err := os.MkdirAll(*out, dirMode); err != nil {
			return err
		}
		return auth.NewAuthority(*out, *name)
	})
}

func keygenNode(ctx context.Context, env Env, args []string) int {
	inv := newInvocation(env, "keygen node", "VM", "Writes VM.pem and VM-key.pem, signed by the CA, for server and client use.")
	ca := inv.flags.String("ca", ".", "`DIR` with ca.pem and ca-key.pem")
	out := inv.flags.String("out", ".", "`DIR` to write to")
	role := inv.flags.String("role", "", "router or agent")
	var ips stringList
	inv.flags.Var(&ips, "ip", "`ADDRESS` of the VM; may be repeated")
	return inv.run(ctx, func(context.Context) error {
		if err := inv.parse(args, 1, 1); err != nil {
			return err
		}
		if *role != "router" && *role != "agent" {
			return fmt.Errorf("%w: -role must be router or agent", errUsage)
		}
		if !namePattern.MatchString(inv.args[0]) {
			return fmt.Errorf("%w: invalid VM name %q", errUsage, inv.args[0])
		}
		parsed, err := parseIPs(ips)
		if err != nil {
			return err
		}
		a, err := auth.LoadAuthority(*ca)
		if errors.Is(err, auth.ErrInvalidKeyFile) {
			return fmt.Errorf("%w: %v", errUsage, err)
		}
		if err != nil {
			return err
		}
		if err := os.MkdirAll(*out, dirMode); err != nil {
			return err
		}
		return a.IssueNodeCertificate(*out, auth.Role(*role), inv.args[0], parsed)
	})
}

func parseIPs(list []string) ([]net.IP, error) {
	var out []net.IP
	for _, text := range list {
		ip := net.ParseIP(text)
		if ip == nil {
			return nil, fmt.Errorf("%w: -ip %q is not an IP address", errUsage, text)
		}
		out = append(out, ip)
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("%w: -ip must be set", errUsage)
	}
	return out, nil
}
