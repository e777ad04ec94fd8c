// Package examples embeds the example documents for the command "jaygw local".
package examples

import _ "embed"

// LiteraUnitaDocument is the JSON document of Litera Unită's booking environment.
//
//go:embed litera-unita/document.json
var LiteraUnitaDocument []byte

// CedarlineDocument is the JSON document of Cedarline's proofing environment.
//
//go:embed cedarline/document.json
var CedarlineDocument []byte
