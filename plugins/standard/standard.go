// Package standard links in the plug-ins that ship with the dispatcher.
package standard

import (
	_ "redwingpulley/plugins/admission/deadline"   // Registers itself.
	_ "redwingpulley/plugins/admission/open"       // Registers itself.
	_ "redwingpulley/plugins/endpoints"            // Registers itself.
	_ "redwingpulley/plugins/frontend/announce"    // Registers itself.
	_ "redwingpulley/plugins/frontend/callers"     // Registers itself.
	_ "redwingpulley/plugins/frontend/operators"   // Registers itself.
	_ "redwingpulley/plugins/jobs"                 // Registers itself.
	_ "redwingpulley/plugins/leases"               // Registers itself.
	_ "redwingpulley/plugins/membership"           // Registers itself.
	_ "redwingpulley/plugins/peer/http"            // Registers itself.
	_ "redwingpulley/plugins/placement/leastwait"  // Registers itself.
	_ "redwingpulley/plugins/placement/random"     // Registers itself.
	_ "redwingpulley/plugins/placement/roundrobin" // Registers itself.
	_ "redwingpulley/plugins/placement/staleview"  // Registers itself.
	_ "redwingpulley/plugins/profiles"             // Registers itself.
	_ "redwingpulley/plugins/quota"                // Registers itself.
	_ "redwingpulley/plugins/record/decisions"     // Registers itself.
	_ "redwingpulley/plugins/record/file"          // Registers itself.
	_ "redwingpulley/plugins/taskclient"           // Registers itself.
)
