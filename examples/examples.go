// Package examples embeds the example documents that jaygw local starts with.
package examples

import _ "embed"

// LiteraUnitaDocument is the document of Litera Unită's booking environment.
//
//go:embed litera-unita/document.json
var LiteraUnitaDocument []byte

// CedarlineDocument is the document of Cedarline's proofing environment.
//
//go:embed cedarline/document.json
var CedarlineDocument []byte
