// Command jackdawyard is a proxy fleet for backend servers that fail partially and quietly.
package main

import (
	"os"

	"github.com/jackdawyard/jackdawyard/internal/jycommand"
)

func main() {
	os.Exit(jycommand.Main(os.Args))
}
