// Package jysignal exchanges observations of backend servers with the other instances, as UDP datagrams called signals. Failures
// go to every data centre at once. Load and answers go to the local data centre, where messages cost nothing, and to the server's
// own data centre. One instance per data centre also sends views of its servers (load and gray chance) to the others.
package jysignal
