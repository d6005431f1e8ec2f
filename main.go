// Command jackdawyard is a proxy fleet for backend servers with gray failures.
package main

import (
	"os"

	"github.com/jackdawyard/jackdawyard/internal/jycommand"
)

func main() {
	os.Exit(jycommand.Main(os.Args))
}
