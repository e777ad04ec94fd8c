package commander

import (
	"os"

	"github.com/jaygw/jaygw"
)

// Options are the values of the flags and arguments of all commands but load.
type Options struct {
	Server      string       // address of the operator endpoint
	Output      string       // text or json
	TokenFile   string       // file with the operators' token; empty: no token
	Member      jaygw.Member // to add or remove
	Settings    string       // settings file of a daemon
	File        string       // document, job or log file
	Environment string       // of the document to promote
	Digest      string       // of the document to promote
	Author      string       // who submits or promotes
	Name        string       // failure domain, or environment/name of a job
	DataFolder  string       // of the local estate's control state
	Callers     string       // address of the local estate for callers
	Operators   string       // address of the local estate for operators
	Example     string       // name of the local estate's example
	LogLevel    string       // of the local estate
	Tour        bool         // run the tour on the local estate
	Subject     string       // of time line events, or id to trace in logs
	Kind        string       // of time line events
	Since       string       // earliest time of events, in RFC 3339
	Until       string       // latest time of events, in RFC 3339
	SVG         string       // file for the time line as SVG; empty: print it
	MetricsPort int          // of a node's metrics; 0: none
}

const (
	outputText = "text"
	outputJSON = "json"

	tokenVariable     = "JAYGW_TOKEN_FILE"
	serverVariable    = "JAYGW_SERVER"
	defaultServer     = "127.0.0.1:7410"
	defaultCallers    = "127.0.0.1:7400"
	defaultOperators  = "127.0.0.1:7410"
	defaultDataFolder = "jaygw-data"
	defaultExample    = "litera-unita"
)

// DefaultOptions returns the options without any arguments. Environment variables may set the server
// and the token file.
func DefaultOptions() Options {
	options := Options{
		Server: defaultServer, Output: outputText, DataFolder: defaultDataFolder,
		Callers: defaultCallers, Operators: defaultOperators, Example: defaultExample, LogLevel: "info",
	}
	if server := os.Getenv(serverVariable); server != "" {
		options.Server = server
	}
	options.TokenFile = os.Getenv(tokenVariable)
	return options
}
