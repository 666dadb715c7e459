// Package loadreportpb contains the code generated from loadreport.proto, the wire format of load reports.
package loadreportpb
