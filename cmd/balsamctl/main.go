// Command balsamctl is the operators' command-line tool. Package ctl implements it.
package main

import (
	"os"

	"balsambarrow/internal/operator/ctl"
)

func main() { os.Exit(ctl.Run(os.Args[1:], os.Stdout, os.Stderr)) }
