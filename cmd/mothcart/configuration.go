package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/user"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"mothcart/core/config"
	"mothcart/io/http1"
	"mothcart/io/operator"
)

const (
	// defaultOperatorURL is the operators' port of a VM on this machine.
	defaultOperatorURL = "http://127.0.0.1:8081"
	// operatorTimeout bounds one call of the operators' port.
	operatorTimeout = time.Minute
)

// operatorFlags are the flags of commands that call the operators' port.
type operatorFlags struct {
	server, operator, cert, key, ca string
}

func (o *operatorFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&o.server, "server", defaultOperatorURL, "`URL` of the operators' port of any VM")
	fs.StringVar(&o.operator, "operator", userName(), "your `NAME` for the audit trail, on a port without TLS")
	fs.StringVar(&o.cert, "cert", "", "PEM `FILE` with your client certificate")
	fs.StringVar(&o.key, "key", "", "PEM `FILE` with the private key of the client certificate")
	fs.StringVar(&o.ca, "ca", "", "PEM `FILE` with the CA of the server's certificate")
}

// userName returns the name of the user who runs the command, or "unknown".
func userName() string {
	if u, err := user.Current(); err == nil && u.Username != "" {
		return u.Username
	}
	return "unknown"
}

func (o *operatorFlags) client() (operator.Client, error) {
	cfg := &tls.Config{MinVersion: tls.VersionTLS13}
	if o.cert != "" || o.key != "" {
		pair, err := tls.LoadX509KeyPair(o.cert, o.key)
		if err != nil {
			return operator.Client{}, merry.Errorf("read client certificate (give -cert and -key): %w", err)
		}
		cfg.Certificates = []tls.Certificate{pair}
	}
	if o.ca != "" {
		data, err := os.ReadFile(o.ca)
		if err != nil {
			return operator.Client{}, merry.Errorf("read CA certificate: %w", err)
		}
		cfg.RootCAs = x509.NewCertPool()
		if !cfg.RootCAs.AppendCertsFromPEM(data) {
			return operator.Client{}, merry.Errorf("%s has no PEM certificate", o.ca)
		}
	}
	hc := &http.Client{Transport: http1.Transport(&http.Transport{TLSClientConfig: cfg, DisableKeepAlives: true}), Timeout: operatorTimeout}
	return operator.NewClient(strings.TrimSuffix(o.server, "/"), hc).WithOperator(o.operator), nil
}

// anyNumber lets parseArguments take any number of positional arguments.
const anyNumber = -1

// parseArguments parses flags before and after exactly n positional arguments. If proceed is false,
// the command exits with the returned code.
func parseArguments(fs *flag.FlagSet, usage string, n int, args []string, out, errOut io.Writer) (positional []string, code int, proceed bool) {
	fs.SetOutput(io.Discard)
	fs.Usage = func() {}
	for {
		err := fs.Parse(args)
		if errors.Is(err, flag.ErrHelp) {
			fmt.Fprintf(out, "usage: mothcart %s\n", usage)
			fs.SetOutput(out)
			fs.PrintDefaults()
			return nil, exitOK, false
		}
		if err != nil {
			fmt.Fprintf(errOut, "mothcart %s: %v; mothcart %s -h lists the flags\n", fs.Name(), err, fs.Name())
			return nil, exitUsage, false
		}
		if fs.NArg() == 0 {
			break
		}
		positional = append(positional, fs.Arg(0))
		args = fs.Args()[1:]
	}
	if n != anyNumber && len(positional) != n {
		fmt.Fprintf(errOut, "mothcart %s: %d arguments, expected %d; usage: mothcart %s\n", fs.Name(), len(positional), n, usage)
		return nil, exitUsage, false
	}
	return positional, exitOK, true
}

// readFiles reads one INI file, or all INI files of a folder in the order of their names.
func readFiles(path string) ([]config.File, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, merry.Errorf("read configuration: %w", err)
	}
	names := []string{path}
	if info.IsDir() {
		if names, err = filepath.Glob(filepath.Join(path, "*.ini")); err != nil {
			return nil, merry.Errorf("read configuration: %w", err)
		}
	}
	if len(names) == 0 {
		return nil, merry.Errorf("%s has no .ini file", path)
	}
	slices.Sort(names)
	var files []config.File
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, merry.Errorf("read configuration: %w", err)
		}
		files = append(files, config.File{Name: name, Data: data})
	}
	return files, nil
}

// readSet reads and checks the configuration at path and prints its problems, one per line. If there
// are any, proceed is false and the command exits with the returned code.
func readSet(command, path string, errOut io.Writer) (set config.Set, code int, proceed bool) {
	files, err := readFiles(path)
	if err != nil {
		return set, failUsage(command, err, errOut), false
	}
	set, problems := config.Parse(files)
	problems = append(problems, config.Check(set)...)
	if len(problems) == 0 {
		return set, exitOK, true
	}
	printProblems(problems, errOut)
	fmt.Fprintf(errOut, "mothcart %s: %d problems in %s; fix them and run the command again\n", command, len(problems), path)
	return set, exitFailure, false
}

func printProblems(problems []config.Problem, w io.Writer) {
	for _, p := range problems {
		fmt.Fprintln(w, p)
	}
}

// failUsage prints err on one line and returns the exit code of a wrong command line.
func failUsage(command string, err error, errOut io.Writer) int {
	fmt.Fprintf(errOut, "mothcart %s: %v\n", command, err)
	return exitUsage
}

// failCall prints the error of a call and advice for the operator on one line.
func failCall(command string, err error, advice string, errOut io.Writer) int {
	fmt.Fprintf(errOut, "mothcart %s: %v; %s\n", command, err, advice)
	return exitFailure
}

func callContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, operatorTimeout)
}
